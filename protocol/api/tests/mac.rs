//! Authentication of publishes by [`PublishKey`].

use api::PublishKey;

/// Key, data and HMAC-SHA256 of RFC 4231, test case 2.
const KEY: &[u8] = b"Jefe";
const BODY: &[u8] = b"what do ya want for nothing?";
const MAC: &str = "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";

#[test]
fn only_the_mac_of_key_and_body_is_accepted() {
    let key = PublishKey::new(KEY).expect("the key is not empty");
    assert_eq!(key.sign(BODY), MAC);
    let upper = MAC.to_uppercase();
    let cases: [(&[u8], &[u8], &str, bool); 10] = [
        (KEY, BODY, MAC, true),
        (b" Jefe\n", BODY, MAC, true),
        (KEY, BODY, &upper, true),
        (b"Jeff", BODY, MAC, false),
        (KEY, &BODY[1..], MAC, false),
        (KEY, BODY, "", false),
        (KEY, BODY, &MAC[..62], false),
        (KEY, BODY, &MAC[..63], false),
        (KEY, BODY, "5bdc\u{e9}", false),
        (KEY, BODY, &MAC.replace("43", "44"), false),
    ];
    for (key, body, mac, accepted) in cases {
        let key = PublishKey::new(key).expect("the key is not empty");
        assert_eq!(key.verify(body, mac), accepted, "{mac}");
    }
    assert!(PublishKey::new(b" \n").is_none());
    assert_eq!(format!("{key:?}"), "PublishKey");
}
