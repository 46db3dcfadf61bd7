use super::*;

#[test]
fn it_keeps_the_record_and_dies_past_what_it_survives() {
    let nature = Nature {
        work: Duration::from_millis(150),
        survives: 4,
        ..Nature::default()
    };
    let service = Service::start(nature);
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
        (recorded.calls, recorded.most_in_hand, recorded.falls),
        (4, 4, 0)
    );
    for n in 10..15 {
        stream
            .write_all(format!("invoke {n} 100 1\r\nx\r\n").as_bytes())
            .unwrap();
    }
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {} // it ends the connection
    assert_eq!(service.recorded().falls, 1);
}
