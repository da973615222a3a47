//! Short digests that stand for keys in logs.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Multiplier that spreads the last bytes over all bits.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// The digest of a key: eight hexadecimal digits, the same at every instance.
///
/// It holds 32 bits, so a key of the usual length can't be recovered from it; a key that can be
/// guessed can be confirmed with it.
pub fn of(key: &str) -> String {
    let mut hash = FNV_OFFSET;
    for byte in key.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(MIX);
    format!("{:08x}", mixed >> 32)
}
