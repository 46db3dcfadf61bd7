use super::*;

#[test]
fn the_service_records_calls_and_crashes_above_its_in_flight_limit() {
    let config = BackendConfig {
        work: Duration::from_millis(150),
        survives: 4,
        ..BackendConfig::default()
    };
    let service = BackendService::start(config);
    let mut stream = TcpStream::connect(service.listen("z0").unwrap()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    for n in 0..4 {
        stream
            .write_all(format!("invoke {n} 100 1\r\nx\r\n").as_bytes())
            .unwrap();
    }
    reader.read_line(&mut line).unwrap();
    assert_eq!(line, "0 ok 2\r\n");
    let recorded = service.recorded();
    assert_eq!(
        (recorded.calls, recorded.most_in_flight, recorded.crashes),
        (4, 4, 0)
    );
    for n in 10..15 {
        stream
            .write_all(format!("invoke {n} 100 1\r\nx\r\n").as_bytes())
            .unwrap();
    }
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {} // a crash closes the connection
    assert_eq!(service.recorded().crashes, 1);
}

/// The answering thread does not run here, as on a machine that is too busy to wake it in time.
#[test]
fn a_call_whose_work_is_over_does_not_count_as_in_flight() {
    let mut state = State {
        config: BackendConfig {
            work: Duration::ZERO,
            survives: 1,
            ..BackendConfig::default()
        },
        ..State::default()
    };
    state.call_arrived(Instant::now(), 1, "over at once", "z0");
    state.config.work = Duration::from_secs(60);
    state.call_arrived(Instant::now(), 1, "long", "z0");
    assert_eq!((state.most_in_flight, state.crashes), (1, 0));
    state.call_arrived(Instant::now(), 1, "one too many", "z0");
    assert_eq!((state.most_in_flight, state.crashes), (2, 1));
}
