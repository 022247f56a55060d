//! Compresses a long text for a peer, against a former text that the peer holds where there is
//! one: what is sent then has the size of the change.
//!
//! Zstandard with the former text as prefix; a checksum of the text is sent with it, so that a
//! prefix that differs from the sender's is found.

use std::io::{self, Read, Write};

use zstd::stream::{read::Decoder, write::Encoder};

/// Level of compression. With long-distance matching a change in a long text takes some 80 bytes at
/// any level, and higher ones more time.
const LEVEL: i32 = 1;
/// Smallest and largest base-2 logarithm of the window: limits of the format's decoders by
/// default.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;
/// Longest text that is decoded, in bytes: four times the longest value of the store; bounds what a
/// broken peer can make this daemon allocate.
const MAX_TEXT_BYTES: u64 = 4 << 20;

/// Compresses `text` against `base`, which is empty if there is none.
///
/// # Errors
///
/// The library has no memory.
pub fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.include_checksum(true)?;
    encoder.long_distance_matching(true)?;
    encoder.window_log(window_log(text.len() + base.len()))?;
    encoder.write_all(text)?;
    encoder.finish()
}

/// The window has to reach back over the whole text and its base.
fn window_log(bytes: usize) -> u32 {
    bytes.next_power_of_two().ilog2().clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}

/// Decompresses what `compress` wrote with the same `base`.
///
/// # Errors
///
/// The data is damaged or too long, or `base` is not the text it was compressed against.
pub fn decompress(data: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = Decoder::with_ref_prefix(data, base)?;
    let mut text = Vec::new();
    decoder.take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "text too long"));
    }
    Ok(text)
}
