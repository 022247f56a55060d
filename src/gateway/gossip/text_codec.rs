//! Compresses a long text for a peer. If the peer holds a former version, the text is compressed
//! against it, so that the result is about as large as the change.
//!
//! The format is Zstandard with the former version as prefix. It includes a checksum of the text,
//! which detects that the receiver's prefix differs from the sender's.

use std::io::{self, Read, Write};

use zstd::stream::{read::Decoder, write::Encoder};

/// Compression level. With long-distance matching, a change in a long text takes about 80 bytes at
/// any level, and higher levels take more time.
const LEVEL: i32 = 1;
/// Allowed base-2 logarithms of the window size: the default limits of Zstandard decoders.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=27;
/// Maximum size of a decompressed text in bytes: four times the longest value of the store. Bounds
/// what a faulty peer can make this daemon allocate.
const MAX_TEXT_BYTES: u64 = 4 << 20;

/// Compresses `text` against `base`, which is empty if there is none.
///
/// # Errors
///
/// Fails if the library runs out of memory.
pub fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    encoder.include_checksum(true)?;
    encoder.long_distance_matching(true)?;
    encoder.window_log(window_log(text.len() + base.len()))?;
    encoder.write_all(text)?;
    encoder.finish()
}

/// The window has to cover the whole text and its base.
fn window_log(bytes: usize) -> u32 {
    bytes.next_power_of_two().ilog2().clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end())
}

/// Decompresses the output of `compress` for the same `base`.
///
/// # Errors
///
/// Fails if the data is damaged or too long, or if it was compressed against another base.
pub fn decompress(data: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = Decoder::with_ref_prefix(data, base)?;
    let mut text = Vec::new();
    decoder.take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "text too long"));
    }
    Ok(text)
}
