//! The encoding of messages between instances: MessagePack with named fields.
//!
//! `tokio-serde` has a MessagePack codec, but that one encodes structs by place. A field that is
//! left out would shift the others, and an instance of the next version could not talk to one of
//! this version during a rolling upgrade.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::io;
use std::pin::Pin;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// MessagePack with named fields.
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
