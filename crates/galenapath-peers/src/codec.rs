//! The encoding of messages between instances: MessagePack with named fields.
//!
//! The MessagePack codec of `tokio-serde` encodes struct fields by position. A field that is left
//! out would shift the fields after it, and during a rolling upgrade instances of two versions
//! could not decode each other's messages.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::io;
use std::pin::Pin;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Codec that writes structs as maps from field name to value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedMessagePack;

impl<T: Serialize> Serializer<T> for NamedMessagePack {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        rmp_serde::to_vec_named(item).map(Bytes::from).map_err(invalid)
    }
}

impl<T: for<'a> Deserialize<'a>> Deserializer<T> for NamedMessagePack {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<T, io::Error> {
        rmp_serde::from_slice(src).map_err(invalid)
    }
}

fn invalid(e: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}
