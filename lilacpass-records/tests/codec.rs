//! Encoding and decoding of records.

mod common;

use common::{accepted, record, spec};
use lilacpass_core::ids::JobId;
use lilacpass_records::{DecodeError, codec, decode, encode};
use lilacpass_schema::v1;
use prost::Message;

fn sample() -> v1::Record {
    v1::Record {
        record_id: "entry-1/7/42".into(),
        written_unix_ms: 1_700_000_000_000,
        body: Some(v1::record::Body::Job(record(JobId(1), accepted(spec(), "digest")))),
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
