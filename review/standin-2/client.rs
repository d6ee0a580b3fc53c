//! Clients of the deployment.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::standin::{http, record::Record};

/// How a client's attempt has ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub attempt: String,
    /// When it was sent and ended, in seconds since the start.
    pub sent: f64,
    pub ended: f64,
    /// Status, or 0 if the channel closed without an answer.
    pub status: u16,
    /// Whether the answer was complete.
    pub whole: bool,
    pub events: u64,
    /// Ids of the events, in the order in which they came.
    pub ids: Vec<u64>,
    pub stamp: Option<String>,
}

impl Outcome {
    fn on_events(&mut self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
        self.ids.extend(ids);
        self.events = self.ids.len() as u64;
    }
}

#[derive(Clone)]
pub struct Attempt {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub timeout: Duration,
}

impl Attempt {
    /// Sends the attempt on a new channel and waits for its end.
    pub fn send(self, entry: SocketAddr, id: String, record: Record) -> JoinHandle<Outcome> {
        thread::spawn(move || {
            let sent = record.line(format!("client sends {id} to {entry}"));
            let mut outcome = Outcome { attempt: id.clone(), sent, ..Outcome::default() };
            let _ = self.exchange(entry, &mut outcome);
            let Outcome { status, whole, events, .. } = outcome;
            outcome.ended = record.line(format!(
                "client gets {id}: status={status} whole={whole} events={events}"
            ));
            outcome
        })
    }

    fn exchange(&self, entry: SocketAddr, outcome: &mut Outcome) -> std::io::Result<()> {
        let mut conn = http::connect(entry, self.timeout)?;
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        text += &format!("X-Attempt-Id: {}\r\n", outcome.attempt);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n{}", self.body.len(), self.body);
        conn.send(&text)?;
        let Some(head) = conn.head()? else { return Ok(()) };
        outcome.status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        outcome.stamp = http::find(&head.headers, "x-response-stamp").map(str::to_owned);
        if http::find(&head.headers, "transfer-encoding").is_none() {
            let body = conn.body(&head.headers, true)?;
            outcome.whole = body.is_some();
            outcome.on_events(&body.unwrap_or_default());
            return Ok(());
        }
        loop {
            match conn.chunk()? {
                None => return Ok(()),
                Some(chunk) if chunk.is_empty() => break,
                Some(chunk) => outcome.on_events(&chunk),
            }
        }
        outcome.whole = true;
        Ok(())
    }
}
