//! Passing the pieces of an answer on, while its attempt may be stopped at any moment.

use std::task::Poll;

use dahliaseam_core::frame::{Assembly, FrameId, Verdict};
use dahliaseam_wire::engine::FrameExtension;
use dahliaseamd::endpoint::attempt::{Closed, Piece, deliver};
use tokio::sync::mpsc;

const REQUEST: &str = "r-1";

fn mark(position: u32) -> FrameExtension {
    let id = FrameId { request: REQUEST.to_owned(), attempt: 0, position };
    FrameExtension { id, tokens: 1, end: false, handle: None }
}

fn assembly() -> Assembly {
    Assembly::new(REQUEST.to_owned(), 0)
}

/// Seen once beside busy processes: a chat whose engine changed its role, so that it was moved to another one, was told as
/// whole without one of its words. A piece counted as delivered before the caller's queue had room for it; the attempt was
/// stopped while it waited for that, and the next one went on after it. With a pause of 2 ms at that place each of
/// four runs lost words so.
#[tokio::test]
async fn a_piece_that_was_not_passed_on_is_asked_for_again() {
    let (tx, mut rx) = mpsc::channel(1);
    let mut assembly = assembly();
    assert_eq!(deliver(&mut assembly, &mark(0), "first ".to_owned(), &tx).await, Ok(Verdict::Deliver));
    {
        let second = mark(1);
        let mut stopped = Box::pin(deliver(&mut assembly, &second, "second ".to_owned(), &tx));
        let polled = std::future::poll_fn(|cx| Poll::Ready(stopped.as_mut().poll(cx))).await;
        assert!(polled.is_pending(), "the caller's queue is full");
    }
    assert_eq!(assembly.delivered(), 1, "the next attempt goes on with the second");
    let first = rx.recv().await;
    assert!(matches!(first, Some(Piece::Text(text, 1)) if text == "first "));
    assert_eq!(deliver(&mut assembly, &mark(1), "second ".to_owned(), &tx).await, Ok(Verdict::Deliver));
    let second = rx.recv().await;
    assert!(matches!(second, Some(Piece::Text(text, 1)) if text == "second "));
}

#[tokio::test]
async fn nothing_counts_as_delivered_to_a_caller_that_left() {
    let (tx, rx) = mpsc::channel(1);
    drop(rx);
    let mut assembly = assembly();
    assert_eq!(deliver(&mut assembly, &mark(0), "first ".to_owned(), &tx).await, Err(Closed));
    assert_eq!(assembly.delivered(), 0);
}

#[tokio::test]
async fn what_is_not_the_next_piece_takes_no_room() {
    let (tx, mut rx) = mpsc::channel(1);
    let mut assembly = assembly();
    assert_eq!(deliver(&mut assembly, &mark(1), "second ".to_owned(), &tx).await, Ok(Verdict::Gap));
    assert!(rx.try_recv().is_err());
    assert_eq!(deliver(&mut assembly, &mark(0), "first ".to_owned(), &tx).await, Ok(Verdict::Deliver));
}
