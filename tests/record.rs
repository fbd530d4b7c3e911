//! Framing of log entries. Guards against a damaged entry that decodes into part of a batch.

use jacinthhook::record::{Batch, DecodeError, Record, decode, encode};
use quickcheck::quickcheck;

fn batch() -> Batch {
    let record = Record::KeyWithdraw { op: "op-1".into(), key: "k1".into() };
    Batch { writer: "entry-1".into(), incarnation: 7, seq: 1, records: vec![record] }
}

#[test]
fn decode_round_trip() {
    let entry = encode(&batch()).unwrap();
    assert_eq!(decode(&entry).unwrap(), batch());
}

#[test]
fn decode_each_byte_flipped() {
    let entry = encode(&batch()).unwrap();
    for i in 0..entry.len() {
        let mut damaged = entry.to_vec();
        damaged[i] ^= 0x20;
        assert!(decode(&damaged).is_err(), "entry with byte {i} flipped decoded");
    }
}

#[test]
fn decode_each_truncation() {
    let entry = encode(&batch()).unwrap();
    for len in 0..entry.len() {
        assert!(decode(&entry[..len]).is_err(), "entry truncated to {len} bytes decoded");
    }
}

/// Guards against 128-bit ids that encode but do not decode, which silently loses claims.
#[test]
fn decode_large_claim() {
    let records = vec![Record::Claim { ids: vec![u128::MAX, u128::from(u64::MAX) + 1, 0] }];
    let batch = Batch { writer: "entry-1".into(), incarnation: u64::MAX, seq: 1, records };
    assert_eq!(decode(&encode(&batch).unwrap()).unwrap(), batch);
}

#[test]
fn decode_wrong_magic() {
    assert_eq!(decode(b"JHR9aaaabbbb"), Err(DecodeError::Header));
}

quickcheck! {
    fn decode_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        decode(&bytes).is_err()
    }
}
