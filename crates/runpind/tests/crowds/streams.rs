//! Crowds whose bodies are too long to be kept, and are passed on as they arrive.

use crate::crowd::{Crowd, chunks};
use crate::entry::{Instance, LITTLE_MEMORY, crowd_head};
use crate::run;

/// Callers of a crowd.
const CALLERS: usize = 400;

fn play(headers: &str, body: &[u8]) {
    run(async {
        let mut instance = Instance::start(LITTLE_MEMORY).await;
        let head = crowd_head("upload", headers);

        let _crowd = Crowd::gather(instance.caller_address(), CALLERS, &head, body).await;

        instance.assert_bears().await;
    });
}

#[test]
fn long_bodies_with_a_length_that_stop_a_byte_short() {
    play("Content-Length: 1000000\r\n", &vec![b'x'; 999_999]);
}

#[test]
fn long_bodies_in_large_chunks_that_stop_before_the_last_one() {
    play("Transfer-Encoding: chunked\r\n", &chunks(851_500, 65_500));
}
