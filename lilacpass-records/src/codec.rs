//! Encoding of one record: a frame with the format version and a checksum around the body.
//!
//! The log is shared with others and its records are read for as long as they are kept, so any
//! bytes may come back: decoding never panics, and each kind of unusable record has its own error.

mod weight;

use lilacpass_schema::v1;
use prost::{Message, encoding};
use quick_error::quick_error;

/// Version of the record format that is written.
pub const FORMAT: u32 = 1;

/// Longest record that is decoded, in bytes. A longer one is refused before anything is allocated.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Most memory that the lists in a record may take once it is decoded, in bytes.
pub const MAX_DECODED_BYTES: usize = 64 << 20;

/// First byte of every frame: the tag of its `format` field, a varint.
const FORMAT_TAG: u8 = 0x08;
/// Tag of the `crc` field, four bytes.
const CRC_TAG: u8 = 0x15;
/// Tag of the `body` field, length-delimited.
const BODY_TAG: u8 = 0x1a;
/// Length of the `crc` field, in bytes.
const CRC_BYTES: usize = 4;

quick_error! {
    /// Why a record can't be used. Such a record is counted, reported and skipped.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// Longer than [`MAX_RECORD_BYTES`]; the length is in bytes.
        TooLong(len: usize) {
            display("record of {len} bytes is longer than {MAX_RECORD_BYTES} bytes")
        }
        /// Its lists would take more memory than [`MAX_DECODED_BYTES`]; the number is in bytes.
        TooLarge(bytes: usize) {
            display("record would take {bytes} bytes of memory, more than {MAX_DECODED_BYTES}")
        }
        /// Ends before its frame does.
        Truncated {
            display("record is truncated")
        }
        /// Not a frame, or a frame around something that is no record.
        Foreign {
            display("record is not one of lilacpass")
        }
        /// Written by a later version of lilacpass.
        Future(format: u32) {
            display("record has format {format}, newer than {FORMAT}")
        }
        /// Its body does not match the checksum.
        Damaged {
            display("record is damaged")
        }
        /// Sound, but of a kind that this version does not know.
        UnknownKind {
            display("record is of an unknown kind")
        }
    }
}

/// Encodes `record`, ready to be appended.
pub fn encode(record: &v1::Record) -> Vec<u8> {
    let body = record.encode_to_vec();
    v1::Frame { format: FORMAT, crc: crc32fast::hash(&body), body }.encode_to_vec()
}

/// Decodes one record as it was read from the log.
pub fn decode(bytes: &[u8]) -> Result<v1::Record, DecodeError> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    let Ok(frame) = v1::Frame::decode(bytes) else {
        return Err(if is_cut_short(bytes) {
            DecodeError::Truncated
        } else {
            DecodeError::Foreign
        });
    };
    if frame.format > FORMAT {
        return Err(DecodeError::Future(frame.format));
    }
    if frame.format < FORMAT {
        return Err(if bytes.is_empty() { DecodeError::Truncated } else { DecodeError::Foreign });
    }
    if frame.body.is_empty() {
        return Err(DecodeError::Truncated);
    }
    if crc32fast::hash(&frame.body) != frame.crc {
        return Err(DecodeError::Damaged);
    }
    let decoded_bytes = weight::decoded_bytes(&frame.body);
    if decoded_bytes > MAX_DECODED_BYTES {
        return Err(DecodeError::TooLarge(decoded_bytes));
    }
    let record = v1::Record::decode(&frame.body[..]).map_err(|_| DecodeError::Foreign)?;
    if record.body.is_none() {
        return Err(DecodeError::UnknownKind);
    }
    Ok(record)
}

/// Whether `bytes` are the beginning of a frame and end before it does.
fn is_cut_short(bytes: &[u8]) -> bool {
    let Some(rest) = after_tag(bytes, FORMAT_TAG) else { return false };
    let mut rest = rest;
    if encoding::decode_varint(&mut rest).is_err() {
        return rest.len() < MAX_VARINT_BYTES;
    }
    if rest.is_empty() {
        return true;
    }
    let Some(rest) = after_tag(rest, CRC_TAG) else { return false };
    if rest.len() <= CRC_BYTES {
        return true;
    }
    let Some(mut rest) = after_tag(&rest[CRC_BYTES..], BODY_TAG) else { return false };
    match encoding::decode_varint(&mut rest) {
        Ok(len) => len > rest.len() as u64 && len <= MAX_RECORD_BYTES as u64,
        Err(_) => rest.len() < MAX_VARINT_BYTES,
    }
}

/// Longest varint, in bytes; a run of that many continuation bytes is no varint at all.
const MAX_VARINT_BYTES: usize = 10;

/// What follows `tag`, or nothing where another byte stands there.
fn after_tag(bytes: &[u8], tag: u8) -> Option<&[u8]> {
    bytes.split_first().filter(|(first, _)| **first == tag).map(|(_, rest)| rest)
}
