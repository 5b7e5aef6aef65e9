//! The layout of the state file: words of eight bytes in the machine's byte order. The injector
//! maps the file into memory, so that counts survive a SIGKILL and changes take effect immediately.
//! A test reads and writes it as a file.

use crate::Call;

/// Size of a word in bytes.
pub const WORD_BYTES: usize = size_of::<u64>();
/// Number of words in the file.
pub const WORD_COUNT: usize = 64;
/// Index of the word that contains the offset of the wall clock in milliseconds, signed.
pub const CLOCK_OFFSET: usize = 0;
/// Index of the word that enables the rules: they apply while the word is not zero.
pub const ARMED: usize = 1;
/// Index of the word that counts the processes that have mapped the file. The count is part of each
/// process's seed, so that every process draws different random numbers.
pub const STARTS: usize = 2;
/// Index of the first counter; there is one counter for each of [`Call::ALL`].
const FIRST_COUNTER: usize = 8;

/// Index of the word that counts how often this call was made to fail.
pub fn counter(call: Call) -> usize {
    FIRST_COUNTER + call.index()
}
