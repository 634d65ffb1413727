//! Records to write, and copies of what was written.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use consensus::{Entry, Hard, Mark, Member, Membership, Meta, Payload, Record, Write};

use crate::memory::{Inner, Memory};

pub(crate) fn entry(index: u64, term: u64, length: usize) -> Record {
    Record::Entry(Entry {
        index,
        term,
        payload: Payload::Command(Bytes::from(vec![index as u8 | 1; length])),
    })
}

pub(crate) fn hard(term: u64) -> Record {
    Record::Hard(Hard {
        group: Some(9),
        term,
        vote: None,
    })
}

pub(crate) fn write(sequence: u64, records: Vec<Record>) -> VecDeque<Write> {
    VecDeque::from([Write {
        sequence,
        records,
        chunk: None,
    }])
}

pub(crate) fn meta(index: u64, term: u64) -> Meta {
    Meta {
        mark: Mark { index, term },
        membership: Membership::of(vec![Member {
            node: "a".into(),
            disk: 1,
        }]),
    }
}

/// Returns a copy of a folder that shares nothing with it.
pub(crate) fn copy(folder: &Memory) -> Memory {
    let files = folder.0.lock().unwrap().files.clone();
    Memory(Arc::new(Mutex::new(Inner {
        files,
        ..Inner::default()
    })))
}
