use super::*;
use serde_json::json;

const NO_LIMIT: usize = usize::MAX;

fn read(pieces: &[&[u8]], max_instance_bytes: usize) -> Result<EndpointList, ListError> {
    let mut reader = ListReader::new(max_instance_bytes);
    for piece in pieces {
        reader.push(piece)?;
    }
    reader.finish()
}

fn entry(number: usize) -> Value {
    json!({"instanceId": format!("e-{number} \\ \"]}},{{"), "hostPort": format!("127.0.0.1:{}", 1 + number % 60_000),
        "zone": "z", "machineType": "plain", "cell": number, "lifecycle": "Ready", "weight": 1.5,
        "extra": {"nested": [1, {"a": "]}"}, "[["]}})
}

fn list(count: usize) -> Value {
    let instances: Vec<Value> = (0..count).map(entry).collect();
    json!({"generation": 41, "instances": instances, "other": [{"instances": []}], "reset": true})
}

#[test]
fn list_reads_the_same_wherever_its_bytes_are_divided() {
    let text = serde_json::to_string_pretty(&list(3)).unwrap();
    for split in 0..=text.len() {
        let (first, second) = text.as_bytes().split_at(split);
        let read = read(&[first, second], NO_LIMIT).unwrap();
        assert_eq!((read.generation, read.reset), (41, true), "{split}");
        let dests: Vec<u64> = read.instances.iter().map(|instance| instance.dest).collect();
        assert_eq!(dests, [0, 1, 2], "{split}");
        assert_eq!(read.instances[2].name, "e-2 \\ \"]},{");
    }
}

#[test]
fn list_cut_off_at_any_byte_is_an_error() {
    let text = list(2).to_string();
    for length in 0..text.len() {
        assert!(read(&[&text.as_bytes()[..length]], NO_LIMIT).is_err(), "{}", &text[..length]);
    }
}

/// The library that reads whole texts accepts and rejects the same ones.
#[test]
fn invalid_text_is_an_error_and_unusual_valid_text_is_not() {
    let entry = entry(1).to_string();
    let texts = [
        "",
        " ",
        "{}",
        "{ }",
        "null",
        "{}{}",
        "{} x",
        "{,}",
        "{\"a\":1,}",
        "{\"a\":1,,\"b\":2}",
        "{\"a\" 1}",
        "{\"generation\":4 1}",
        "{\"generation\":-1}",
        "{\"generation\":1.5}",
        "{\"generation\":\"1\"}",
        "{\"generation\":1,\"generation\":1}",
        "{\"reset\":\"yes\"}",
        "{\"reset\":null}",
        "{\"reset\": tr ue}",
        "{\"instances\":{}}",
        "{\"instances\":null}",
        "{\"instances\":[]}",
        "{\"instances\" : [ ] }",
        "{\"instances\":[,]}",
        "{\"instances\":[1,]}",
        "{\"instances\":[1 2]}",
        "{\"instances\":[}",
        "{\"instances\":[]]",
        "{\"instances\":[] \"reset\":true}",
        "{\"instances\":[],}",
        "{\"instances\":[]",
        "{\"instances\":[],\"instances\":[]}",
        "{\"instances\":[{\"a\":]}",
        "{\"instances\":[null,7,\"x\",[[]]]}",
        "{\"a\":{\"instances\":[}]}}",
        "{\"a\":[}]}",
        "{\"a\":\"\\\"}\"}",
        "{\"a\":[[[]],{}],\"reset\":false}",
        "{]",
        "\u{feff}{}",
        "{\"inst\":1}",
        "{'a':1}",
        "{\"a\":NaN}",
        "{\"instances\":[\"\u{1}\"]}",
        "{\"a\":1}}",
        "{\"a b\":1}",
        "{\"instances \":[]}",
    ];
    let with_entries =
        ["{\"instances\":[E,E]}", "{\"instances\":[E E]}", "{\"instances\":[E,]}", "{\"instances\":[E}"];
    let texts =
        texts.iter().map(ToString::to_string).chain(with_entries.map(|text| text.replace('E', &entry)));
    // The other library takes an array for the members in order.
    assert!(read(&[b"[]"], NO_LIMIT).is_err());
    for text in texts {
        let whole: Result<EndpointList, _> = serde_json::from_str(&text);
        let streamed = read(&[text.as_bytes()], NO_LIMIT);
        assert_eq!(streamed.is_ok(), whole.is_ok(), "{text}: {:?}, {:?}", streamed.err(), whole.err());
        if let (Ok(streamed), Ok(whole)) = (streamed, whole) {
            assert_eq!(format!("{streamed:?}"), format!("{whole:?}"), "{text}");
        }
    }
}

#[test]
fn white_space_and_unknown_members_take_no_memory() {
    let mut reader = ListReader::new(NO_LIMIT);
    let blank = vec![b' '; 1 << 20];
    reader.push(b"{\"other\":\"").unwrap();
    for _ in 0..8 {
        reader.push(&vec![b'x'; 1 << 20]).unwrap();
        assert!(reader.piece.capacity() <= 2 * MAX_PIECE_BYTES);
    }
    reader.push(b"\",\"instances\":[").unwrap();
    for number in 0..100 {
        reader.push(&blank).unwrap();
        let comma = if number > 0 { "," } else { "" };
        reader.push(format!("{comma}{}", entry(number)).as_bytes()).unwrap();
        assert!(reader.piece.capacity() <= 4_096, "{}", reader.piece.capacity());
    }
    reader.push(b"]}").unwrap();
    assert_eq!(reader.finish().unwrap().instances.len(), 100);
}

#[test]
fn entries_that_take_too_much_memory_are_an_error_and_an_oversized_entry_is_skipped() {
    let text = list(3_200).to_string();
    assert_eq!(read(&[text.as_bytes()], 4_000_000).unwrap().instances.len(), 3_200);
    assert!(matches!(read(&[text.as_bytes()], 100_000), Err(ListError::TooLarge(100_000))));
    let huge = entry(1).to_string().replace("plain", &"x".repeat(MAX_PIECE_BYTES));
    let text = format!("{{\"instances\":[{huge},{}]}}", entry(2));
    let dests: Vec<u64> =
        read(&[text.as_bytes()], NO_LIMIT).unwrap().instances.iter().map(|instance| instance.dest).collect();
    assert_eq!(dests, [2]);
}
