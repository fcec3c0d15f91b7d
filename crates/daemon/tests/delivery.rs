//! Delivery of the pieces of an answer while its attempt may be stopped at any moment.

use std::task::Poll;

use dahliaseam_core::frame::{Assembly, FrameAction, FrameId};
use dahliaseam_wire::engine::FrameExtension;
use dahliaseamd::endpoint::attempt::{CallerGone, Piece, deliver};
use tokio::sync::mpsc;

const REQUEST: &str = "r-1";

fn mark(position: u32) -> FrameExtension {
    let id = FrameId { request: REQUEST.to_owned(), attempt: 0, position };
    FrameExtension { id, tokens: 1, end: false, handle: None }
}

fn assembly() -> Assembly {
    Assembly::new(REQUEST.to_owned(), 0)
}

/// Guards against lost words in an answer that is reported as complete. A piece counted as delivered before the
/// caller's queue had room for it. The attempt was stopped while it waited for room, because its engine changed its
/// role, and the next attempt resumed after that piece. With a pause of 2 ms between counting and queueing, each of
/// four runs lost words.
#[tokio::test]
async fn a_piece_whose_delivery_was_cancelled_does_not_count_as_delivered() {
    let (tx, mut rx) = mpsc::channel(1);
    let mut assembly = assembly();
    assert_eq!(deliver(&mut assembly, &mark(0), "first ".to_owned(), &tx).await, Ok(FrameAction::Deliver));
    {
        let second = mark(1);
        let mut stopped = Box::pin(deliver(&mut assembly, &second, "second ".to_owned(), &tx));
        let polled = std::future::poll_fn(|cx| Poll::Ready(stopped.as_mut().poll(cx))).await;
        assert!(polled.is_pending(), "the caller's queue is full");
    }
    assert_eq!(assembly.delivered(), 1, "the next attempt resumes with the second piece");
    let first = rx.recv().await;
    assert!(matches!(first, Some(Piece::Text(text, 1)) if text == "first "));
    assert_eq!(deliver(&mut assembly, &mark(1), "second ".to_owned(), &tx).await, Ok(FrameAction::Deliver));
    let second = rx.recv().await;
    assert!(matches!(second, Some(Piece::Text(text, 1)) if text == "second "));
}

#[tokio::test]
async fn nothing_counts_as_delivered_after_the_caller_disconnected() {
    let (tx, rx) = mpsc::channel(1);
    drop(rx);
    let mut assembly = assembly();
    assert_eq!(deliver(&mut assembly, &mark(0), "first ".to_owned(), &tx).await, Err(CallerGone));
    assert_eq!(assembly.delivered(), 0);
}

#[tokio::test]
async fn a_piece_out_of_order_is_not_queued() {
    let (tx, mut rx) = mpsc::channel(1);
    let mut assembly = assembly();
    assert_eq!(deliver(&mut assembly, &mark(1), "second ".to_owned(), &tx).await, Ok(FrameAction::Gap));
    assert!(rx.try_recv().is_err());
    assert_eq!(deliver(&mut assembly, &mark(0), "first ".to_owned(), &tx).await, Ok(FrameAction::Deliver));
}
