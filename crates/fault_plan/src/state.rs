//! The layout of the state file: words of eight bytes in the machine's byte order. The injector
//! maps it into memory, so that counts survive a SIGKILL and changes take effect at once; a test
//! reads and writes it as a file.

use crate::Call;

/// Bytes of a word.
pub const WORD_BYTES: usize = size_of::<u64>();
/// Words in the file.
pub const WORD_COUNT: usize = 64;
/// Index of the word with the wall clock's offset in milliseconds, signed.
pub const CLOCK_OFFSET: usize = 0;
/// Index of the word that enables the rules: they apply while it is not zero.
pub const ARMED: usize = 1;
/// Index of the word that counts the processes which mapped the file; each draws random numbers of
/// its own.
pub const STARTS: usize = 2;
/// Index of the first counter; there is one for each of [`Call::ALL`].
const FIRST_COUNTER: usize = 8;

/// Index of the word that counts how often a call was made to fail.
pub fn counter(call: Call) -> usize {
    FIRST_COUNTER + call.index()
}
