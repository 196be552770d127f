//! Decoding of bytes that others wrote or that were damaged.

use bolero::TypeGenerator;
use lilacpass_records::{DecodeError, codec, decode, encode};
use lilacpass_schema::v1::{self, record::Body};
use prost::Message;

/// Values tried in a plain run.
const SEEDS: u64 = 10_000;
/// Most bytes of a frame, and of what a record is made from.
const MAX_BYTES: usize = 4_096;

/// The parts of a record that matter to its encoding.
#[derive(Clone, Debug, TypeGenerator)]
struct Draft {
    record_id: String,
    written_unix_ms: u64,
    text: String,
    number: u64,
    kind: u8,
}

impl Draft {
    fn record(&self) -> v1::Record {
        let text = self.text.clone();
        let body = match self.kind % 3 {
            0 => Body::Audit(v1::AuditEntry {
                detail: text,
                to_revision: self.number,
                ..Default::default()
            }),
            1 => Body::Job(v1::JobRecord { job_id: text, body: None }),
            _ => Body::Snapshot(v1::Snapshot {
                covers_offset: self.number,
                snapshot_id: text,
                ..Default::default()
            }),
        };
        let record_id = self.record_id.clone();
        v1::Record { record_id, written_unix_ms: self.written_unix_ms, body: Some(body) }
    }
}

#[test]
fn any_bytes_decode_or_are_refused() {
    lilacpass_fuzz::check_bytes(SEEDS, MAX_BYTES, |bytes| {
        if let Ok(record) = decode(bytes) {
            assert!(record.body.is_some());
        }
        // The same bytes behind a sound checksum reach the decoder of the body.
        let crc = crc32fast::hash(bytes);
        let frame = v1::Frame { format: codec::FORMAT, crc, body: bytes.to_vec() };
        let _ = decode(&frame.encode_to_vec());
    });
}

#[test]
fn any_record_comes_back_and_any_damage_is_found() {
    lilacpass_fuzz::check::<(Draft, u16, u8)>(SEEDS, MAX_BYTES, |(draft, at, flip)| {
        let record = draft.record();
        let bytes = encode(&record);
        assert_eq!(decode(&bytes).as_ref(), Ok(&record));
        let at = usize::from(*at) % bytes.len();
        assert_eq!(decode(&bytes[..at]), Err(DecodeError::Truncated));
        let mut damaged = bytes;
        damaged[at] ^= flip;
        assert_eq!(decode(&damaged).is_err(), *flip != 0, "byte {at} changed by {flip}");
    });
}
