//! Encoding and decoding of records.

mod common;

use common::{accepted, record, spec};
use lilacpass_core::ids::JobId;
use lilacpass_records::{DecodeError, codec, decode, encode};
use lilacpass_schema::v1::{self, record::Body, snapshot::Body as Part};
use prost::Message;

fn sample() -> v1::Record {
    v1::Record {
        record_id: "entry-1/7/42".into(),
        written_unix_ms: 1_700_000_000_000,
        body: Some(Body::Job(record(JobId(1), accepted(spec(), "digest")))),
    }
}

fn frame(format: u32, body: Vec<u8>) -> Vec<u8> {
    v1::Frame { format, crc: crc32fast::hash(&body), body }.encode_to_vec()
}

#[test]
fn a_record_comes_back_as_it_was() {
    assert_eq!(decode(&encode(&sample())), Ok(sample()));
}

#[test]
fn a_record_cut_anywhere_is_truncated() {
    let bytes = encode(&sample());
    for len in 0..bytes.len() {
        assert_eq!(decode(&bytes[..len]), Err(DecodeError::Truncated), "cut to {len} bytes");
    }
}

/// A bit flips in the platform's store. The checksum or the frame's form must give it away: a
/// record read with another job id would end the wrong job.
#[test]
fn a_record_with_a_flipped_bit_is_refused() {
    let bytes = encode(&sample());
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(&flipped).is_err(), "bit {bit}");
    }
    let mut flipped = bytes.clone();
    *flipped.last_mut().unwrap() ^= 1;
    assert_eq!(decode(&flipped), Err(DecodeError::Damaged));
}

#[test]
fn each_kind_of_unusable_record_has_its_own_error() {
    assert_eq!(decode(b"{\"some\": \"json\"}"), Err(DecodeError::Foreign));
    assert_eq!(decode(&frame(1, vec![0xff; 8])), Err(DecodeError::Foreign));
    assert_eq!(decode(&frame(2, vec![0xff; 8])), Err(DecodeError::Future(2)));
    let unknown = v1::Record { body: None, ..sample() };
    assert_eq!(decode(&encode(&unknown)), Err(DecodeError::UnknownKind));
    let long = vec![0; codec::MAX_RECORD_BYTES + 1];
    assert_eq!(decode(&long), Err(DecodeError::TooLong(long.len())));
}

/// Somebody with access to the log appends a snapshot part of empty jobs, two bytes each. Decoding
/// it would take more memory than an entry instance has, at every entry that reads the stream.
#[test]
fn a_record_that_grows_beyond_bounds_is_refused_unread() {
    let record = |jobs, task_ends: usize| {
        let task_ends = vec![v1::TaskEnded::default(); task_ends];
        let job = v1::SnapshotJob { task_ends, ..Default::default() };
        let part = v1::JobsSnapshot { jobs: vec![job; jobs], ..Default::default() };
        let snapshot = v1::Snapshot { body: Some(Part::Jobs(part)), ..Default::default() };
        encode(&v1::Record { body: Some(Body::Snapshot(snapshot)), ..Default::default() })
    };
    let most = codec::MAX_DECODED_BYTES / size_of::<v1::SnapshotJob>();
    assert!(decode(&record(most, 0)).is_ok());
    assert!(matches!(decode(&record(most + 1, 0)), Err(DecodeError::TooLarge(_))));
    let most = codec::MAX_DECODED_BYTES / size_of::<v1::TaskEnded>();
    assert!(matches!(decode(&record(1, most)), Err(DecodeError::TooLarge(_))));
}
