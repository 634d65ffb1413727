//! Aliases for identifiers.

use compact_str::CompactString;

/// Name of a client account.
pub type AccountId = CompactString;
/// Name of a data centre.
pub type DataCentreId = CompactString;
/// Name of a region, which contains data centres.
pub type RegionId = CompactString;
/// Name of a service in the operators' text.
pub type ServiceId = CompactString;
/// Name of a model.
pub type ModelId = CompactString;
/// Name of an upstream, chosen by the upstream itself and unique in the fleet.
pub type UpstreamId = CompactString;
/// Name of a process of chervilloft.
pub type NodeId = CompactString;
/// Name of an instance, assigned by the cloud.
pub type InstanceId = CompactString;
/// Identifier of one request, unique in the fleet.
pub type RequestId = CompactString;
/// Version of the operators' text in force; 0 before the first one.
pub type Version = u64;
/// Number of a start of a process or upstream; it grows with every restart.
pub type Incarnation = u64;
