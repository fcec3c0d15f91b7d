//! Content hashes of equal and of different requests.

use dahliaseam_core::content::ContentHash;

#[test]
fn equal_requests_have_equal_hashes_and_others_differ() {
    let of = |method, host, path, body: &str| ContentHash::of(method, host, path, body.as_bytes());
    let one = of("POST", "shop.example", "/match/7?a=1", "a worn hub");
    assert_eq!(one, of("POST", "shop.example", "/match/7?a=1", "a worn hub"));
    for other in [
        of("PUT", "shop.example", "/match/7?a=1", "a worn hub"),
        of("POST", "shop2.example", "/match/7?a=1", "a worn hub"),
        of("POST", "shop.example", "/match/7?a=2", "a worn hub"),
        of("POST", "shop.example", "/match/7?a=1", "a worn hub."),
        of("POST", "shop.example", "/match/7?a=", "1a worn hub"),
    ] {
        assert_ne!(one, other);
    }
}
