//! Decoding of structs from objects only.
//!
//! Serde also takes an array of the fields' values for a struct, which nobody who announces an upstream
//! writes.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A value that is decoded from an object only.
#[derive(Clone, Debug)]
pub struct Object<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        only(deserializer).map(Object)
    }
}

/// Decodes a struct from an object only.
pub(crate) fn only<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_map(Only(PhantomData))
}

/// Decodes an array of structs from objects only.
pub(crate) fn only_each<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects = Vec::<Object<T>>::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|object| object.0).collect())
}

struct Only<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Only<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map))
    }
}
