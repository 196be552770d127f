//! Memory that an encoded record takes once it is decoded, estimated before it is.
//!
//! An empty element of a list takes two bytes in the log and up to half a kilobyte in memory: 4 MB
//! of them, behind a sound checksum, took 1.1 GB, more than an entry instance has.

use lilacpass_schema::v1;
use prost::{
    bytes::Buf,
    encoding::{self, DecodeContext, WireType},
};

/// A message field on the way to, or inside of, a list of messages.
struct Field {
    tag: u32,
    /// Memory of each occurrence, in bytes; 0 where it is no list.
    each_bytes: usize,
    inside: &'static [Self],
}

const fn single(tag: u32, inside: &'static [Field]) -> Field {
    Field { tag, each_bytes: 0, inside }
}

const fn list<T>(tag: u32, inside: &'static [Field]) -> Field {
    Field { tag, each_bytes: size_of::<T>(), inside }
}

/// Lists of messages in a `Record`. Lists of texts and numbers grow at most twelvefold, and are
/// bounded by the length of the record.
static RECORD: &[Field] = &[
    single(4, &[single(3, ATTEMPT)]),
    single(5, &[list::<v1::ConfigOp>(4, &[single(1, CONFIGURATION)])]),
    single(7, &[single(5, HOLDING), single(6, JOBS), single(7, &[single(2, CONFIGURATION)])]),
];
static ATTEMPT: &[Field] = &[list::<v1::Placement>(4, &[])];
static HOLDING: &[Field] = &[list::<v1::SnapshotShard>(1, &[]), list::<v1::SnapshotMember>(2, &[])];
static JOBS: &[Field] =
    &[list::<v1::SnapshotJob>(1, &[single(3, ATTEMPT), list::<v1::TaskEnded>(4, &[])])];
static CONFIGURATION: &[Field] = &[
    list::<v1::DataCentre>(1, &[]),
    list::<v1::WorkerSpec>(2, &[]),
    list::<v1::ServiceSpec>(3, &[]),
    list::<v1::StandingWork>(4, &[]),
    list::<v1::Team>(5, &[]),
    single(6, &[list::<v1::AccountRule>(1, &[])]),
    list::<v1::AccessToken>(7, &[]),
];

/// Memory of the lists of messages in an encoded `Record`, in bytes. What follows after a
/// malformed field is not counted: decoding stops there too.
pub(super) fn decoded_bytes(body: &[u8]) -> usize {
    sum(body, RECORD)
}

fn sum(mut bytes: &[u8], fields: &[Field]) -> usize {
    let mut total = 0;
    while bytes.has_remaining() {
        let Ok((tag, wire_type)) = encoding::decode_key(&mut bytes) else { break };
        let field = fields.iter().find(|field| field.tag == tag);
        let Some(field) = field.filter(|_| wire_type == WireType::LengthDelimited) else {
            let skipped =
                encoding::skip_field(wire_type, tag, &mut bytes, DecodeContext::default());
            if skipped.is_err() {
                break;
            }
            continue;
        };
        let Some(content) = take_content(&mut bytes) else { break };
        total += field.each_bytes + sum(content, field.inside);
    }
    total
}

/// The content of a length-delimited field, or nothing where it is cut short.
fn take_content<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let len = usize::try_from(encoding::decode_varint(bytes).ok()?).ok()?;
    let (content, rest) = bytes.split_at_checked(len)?;
    *bytes = rest;
    Some(content)
}
