//! A hash that is the same on every node and in every release.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_FIRST: u64 = 0xff51_afd7_ed55_8ccd;
const MIX_SECOND: u64 = 0xc4ce_b9fe_1a85_ec53;

/// FNV-1a over the parts and their ends, with the finalizer of MurmurHash3.
pub(crate) fn stable(parts: &[&[u8]]) -> u64 {
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.iter().chain(std::iter::once(&0)) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(MIX_FIRST);
    hash = (hash ^ (hash >> 33)).wrapping_mul(MIX_SECOND);
    hash ^ (hash >> 33)
}
