//! A minimal upstream that answers plain calls at once and streams tokens at a steady pace.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval};

use crate::connection::Connection;
use crate::usage::now_nanos;

/// Body of a plain answer.
const BODY: &str = "{\"status\":\"exposed\",\"plates\":4}";

pub(crate) async fn run(port: u16) {
    let listener = TcpListener::bind(("127.0.0.1", port)).await;
    let listener = listener.expect("the port is free");
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(Connection::new(stream)));
    }
}

async fn serve(mut connection: Connection) -> Option<()> {
    loop {
        let head = connection.head().await?;
        let body = connection.body(head.length).await;
        match head.line.split(' ').nth(1)? {
            "/v1/completions" => stream(&mut connection, &body).await?,
            path if path.starts_with("/v1/cache") => {
                answer(&mut connection, "{\"events\":[],\"last\":0}").await?;
            }
            _ => answer(&mut connection, BODY).await?,
        }
    }
}

async fn answer(connection: &mut Connection, body: &str) -> Option<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    connection.send(head.as_bytes()).await.ok()
}

/// Streams `max_tokens` tokens, one every `pause_ms`. Each token contains the time at which it is
/// sent, in nanoseconds since the Unix epoch.
async fn stream(connection: &mut Connection, body: &[u8]) -> Option<()> {
    let call: serde_json::Value = serde_json::from_slice(body).ok()?;
    let tokens = call["max_tokens"].as_u64()?;
    let mut pace = interval(Duration::from_millis(call["pause_ms"].as_u64()?));
    pace.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    connection.send(head.as_bytes()).await.ok()?;
    for index in 0..tokens {
        pace.tick().await;
        let token = now_nanos();
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"text\":\" t{token}\",\"finish_reason\":null}}],\
             \"token_index\":{index}}}\n\n"
        );
        chunk(connection, &event).await?;
    }
    let last = format!(
        "data: {{\"choices\":[{{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}}],\
         \"usage\":{{\"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
    );
    chunk(connection, &last).await?;
    connection.send(b"0\r\n\r\n").await.ok()
}

async fn chunk(connection: &mut Connection, text: &str) -> Option<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    connection.send(framed.as_bytes()).await.ok()
}
