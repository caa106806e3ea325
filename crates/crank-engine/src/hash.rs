//! A hash that has the same value on every node and in every release.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MURMUR_MIX_FIRST: u64 = 0xff51_afd7_ed55_8ccd;
const MURMUR_MIX_SECOND: u64 = 0xc4ce_b9fe_1a85_ec53;

/// Returns the FNV-1a hash of the parts, each followed by a zero byte, with the finalizer of
/// `MurmurHash3`.
pub(crate) fn stable(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in part.iter().chain(std::iter::once(&0)) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(MURMUR_MIX_FIRST);
    hash = (hash ^ (hash >> 33)).wrapping_mul(MURMUR_MIX_SECOND);
    hash ^ (hash >> 33)
}
