//! Upstreams on instances, and the templates from which they are launched.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Lifecycle;
use crate::engine::{self, Engine};
use crate::plain::{self, Plain};

use super::Instance;

/// Settings of an upstream; name, service, data centre and class are those of the instance.
#[derive(Clone, Debug)]
pub enum Template {
    /// A model engine.
    Engine(engine::Settings),
    /// A plain service.
    Plain(plain::Settings),
}

/// An upstream on an instance.
#[derive(Debug)]
pub enum Upstream {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(Plain),
}

impl Template {
    /// Launches an upstream with the settings of the template on `instance`.
    pub(super) async fn launch(self, instance: &Instance) -> io::Result<Upstream> {
        match self {
            Template::Engine(settings) => {
                let settings = engine::Settings {
                    upstream: instance.id.clone(),
                    service: instance.service.clone(),
                    data_centre: instance.data_centre.clone(),
                    class: instance.class,
                    ..settings
                };
                Engine::start(settings).await.map(Upstream::Engine)
            }
            Template::Plain(settings) => {
                let settings = plain::Settings {
                    upstream: instance.id.clone(),
                    service: instance.service.clone(),
                    data_centre: instance.data_centre.clone(),
                    class: instance.class,
                    ..settings
                };
                Plain::start(settings).await.map(Upstream::Plain)
            }
        }
    }
}

impl Upstream {
    /// Announces a reclaim and kills the upstream after `notice`.
    pub fn reclaim(&self, notice: Duration) {
        match self {
            Upstream::Engine(engine) => engine.reclaim(notice),
            Upstream::Plain(plain) => plain.reclaim(notice),
        }
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        match self {
            Upstream::Engine(engine) => engine.address(),
            Upstream::Plain(plain) => plain.address(),
        }
    }

    /// Returns the lifecycle of the upstream.
    pub fn lifecycle(&self) -> &Lifecycle {
        match self {
            Upstream::Engine(engine) => engine.lifecycle(),
            Upstream::Plain(plain) => plain.lifecycle(),
        }
    }

    /// Returns the engine, or `None` for a plain service.
    pub fn engine(&self) -> Option<&Engine> {
        match self {
            Upstream::Engine(engine) => Some(engine),
            Upstream::Plain(_) => None,
        }
    }
}
