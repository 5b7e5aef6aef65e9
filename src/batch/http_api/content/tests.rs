use super::*;

#[test]
fn ranges_are_read_as_the_standard_has_them() {
    assert_eq!(range("bytes=0-4", 10), Range::Part(0, 5));
    assert_eq!(range("bytes=7-", 10), Range::Part(7, 10));
    assert_eq!(range("bytes=-3", 10), Range::Part(7, 10));
    assert_eq!(range("bytes=7-99", 10), Range::Part(7, 10));
    assert_eq!(range("bytes=10-", 10), Range::None);
    assert_eq!(range("bytes=5-2", 10), Range::Whole);
    assert_eq!(range("lines=1-2", 10), Range::Whole);
}
