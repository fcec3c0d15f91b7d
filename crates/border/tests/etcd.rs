//! Lists of the key-value service with entries that cannot be decoded.

use axum::{Json, Router, routing::post};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use dahliaseam_border::{etcd::Etcd, kv::KeyValue};
use serde_json::{Value, json};
use tokio::net::TcpListener;

async fn service_with(kvs: Value) -> Etcd {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let range = move || async move { Json(json!({ "kvs": kvs })) };
    let app = Router::new().route("/v3/kv/range", post(range));
    tokio::spawn(async move { axum::serve(listener, app).await });
    Etcd::new(&address)
}

/// Guards against losing a list for one entry in it that is no text.
#[tokio::test]
async fn an_entry_that_is_no_text_does_not_hide_the_others() {
    let entry = |key: &[u8], value: &[u8]| json!({"key": BASE64.encode(key), "value": BASE64.encode(value), "mod_revision": "3"});
    let kvs = json!([
        entry(b"a&#+% b", b"1"),
        entry(&[0xff], b"2"),
        entry(b"c", &[0xfe]),
        json!({"key": "no base64!", "value": "", "mod_revision": "3"}),
        entry(b"d", b"4"),
    ]);
    let listed = service_with(kvs).await.list("").await.expect("the service answers");
    let read: Vec<(&str, &str)> = listed.iter().map(|entry| (&*entry.key, &*entry.value)).collect();
    assert_eq!(read, [("a&#+% b", "1"), ("d", "4")]);
}
