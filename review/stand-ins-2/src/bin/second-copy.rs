//! A good reply of the back end brings a second copy. The bytes come in two pieces: the reply and
//! most of the copy, then the end of the copy, when the run has made its next call.

use review_stand_ins_2::backend::{self, ok};
use review_stand_ins_2::dispatcher::{Connection, Outcome, Request};
use review_stand_ins_2::kernel::{Kernel, Step};
use review_stand_ins_2::node::{Config, Program, finish, free_address, guard};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{CORES, Service, Settings, TIMEOUT_MS};
use review_stand_ins_2::{has_trouble, registry};
use std::thread::sleep;
use std::time::Duration;

/// Number of requests.
const REQUESTS: usize = 40;
/// The first reply to every so many requests brings a second copy.
const COPY_EVERY: usize = 4;
/// Time between the two pieces.
const APART: Duration = Duration::from_millis(20);
/// Time in which the back end replies to the first call of a request, and to the second.
const REPLY_TIMES: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(60)];

fn reply_to(call: &[u8]) -> Vec<u8> {
    [b"reply to ", call].concat()
}

fn start_backend(record: &Record) -> std::io::Result<std::net::SocketAddr> {
    let noted = record.clone();
    backend::start(record.clone(), move |call, replies| {
        let text = String::from_utf8_lossy(&call.body).into_owned();
        let is_first = text.ends_with("call 1");
        let number = usize::from_str_radix(&call.id, 16).unwrap_or(0);
        let reply = ok(&call.id, &reply_to(&call.body));
        sleep(REPLY_TIMES[usize::from(!is_first)]);
        if has_trouble() && is_first && number.is_multiple_of(COPY_EVERY) {
            noted.note(format!("back end: reply to {text} and most of its copy"));
            let (most, end) = reply.split_at(reply.len() - 4);
            replies.write(&[&reply[..], most].concat());
            sleep(APART);
            noted.note(format!(
                "back end: the end of the copy of the reply to {text}"
            ));
            replies.write(end);
        } else {
            noted.note(format!("back end: reply to {text}"));
            replies.write(&reply);
        }
    })
}

fn main() -> std::io::Result<()> {
    guard();
    let record = Record::create()?;
    let kernel = Kernel::new(&record, CORES);
    let config = Config {
        listen: free_address(),
        kernel: kernel.listen()?,
        members: registry::start(record.clone())?,
        backend: Some(start_backend(&record)?),
        settings: Settings {
            services: vec![Service {
                name: "geocodificar",
                effect: "read_like",
            }],
            below: "tier",
        }
        .text(),
    };
    let _node = Program::start(&config, "", &record);
    let mut dispatcher = Connection::open(config.listen, &record)?;
    let (mut wrong, mut served) = (0, 0);
    for number in 0..REQUESTS {
        if dispatcher.ended().is_some() {
            dispatcher = Connection::open(config.listen, &record)?;
        }
        let rid = format!("{:016x}", 0x1000 + number);
        let call = |n: usize| format!("{rid} call {n}").into_bytes();
        let work = Step::Work(Duration::from_millis(3));
        let steps = vec![
            work.clone(),
            Step::Call(call(1)),
            work.clone(),
            Step::Call(call(2)),
            work,
        ];
        kernel.add(&rid, "geocodificar", b"body", steps);
        dispatcher.send(&Request::new(&rid, "geocodificar", b"body"))?;
        let answer = dispatcher.answer(Duration::from_millis(TIMEOUT_MS + 1000));
        kernel.over(&rid);
        served += usize::from(matches!(
            answer,
            Some((_, Outcome::Answer { status: 200, .. }))
        ));
        for (index, resumed) in kernel.seen(&rid).resumed.iter().enumerate() {
            let expected = reply_to(&call(index + 1));
            if resumed.as_ref().is_some_and(|resumed| *resumed != expected) {
                wrong += 1;
                record.say(format!(
                    "WRONG: call {} of {rid} was resumed with {:?}; the back end's reply was {:?}",
                    index + 1,
                    String::from_utf8_lossy(resumed.as_deref().unwrap_or_default()),
                    String::from_utf8_lossy(&expected),
                ));
            }
        }
    }
    record.say(format!(
        "{REQUESTS} requests, {served} served, {wrong} calls resumed with another call's reply"
    ));
    finish(match (wrong, served) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    });
}
