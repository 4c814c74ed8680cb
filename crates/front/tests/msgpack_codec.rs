//! Length and content of MessagePack-RPC messages that arrive in pieces.

use marljunction_front::msgpack::codec::{decode_message, Call, FrameLength, FrameScanner, Message};
use proptest::prelude::*;
use rmpv::Value;

/// Values nested up to four levels.
fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Nil),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z]{0,40}".prop_map(Value::from),
        proptest::collection::vec(any::<u8>(), 0..300).prop_map(Value::from),
        (any::<i8>(), proptest::collection::vec(any::<u8>(), 0..20))
            .prop_map(|(kind, data)| Value::Ext(kind, data)),
    ];
    leaf.prop_recursive(4, 64, 20, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..20).prop_map(Value::Array),
            proptest::collection::vec((inner.clone(), inner), 0..20).prop_map(Value::Map),
        ]
    })
}

fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).unwrap();
    bytes
}

proptest! {
    #[test]
    fn a_message_in_pieces_has_the_length_that_it_has_whole(
        value in value(),
        more in proptest::collection::vec(any::<u8>(), 0..4),
        pieces in proptest::collection::vec(1usize..40, 1..400),
    ) {
        let message = encode(&value);
        let input = [&message[..], &more].concat();
        prop_assert_eq!(FrameScanner::default().scan(&input), Ok(FrameLength::Complete(message.len())));
        let mut scanner = FrameScanner::default();
        let mut arrived = 0;
        for piece in pieces.iter().cycle() {
            match scanner.scan(&input[..arrived]) {
                Ok(FrameLength::Complete(size)) => {
                    prop_assert_eq!(size, message.len());
                    prop_assert!(arrived >= size, "complete after {} of {} bytes", arrived, size);
                    break;
                }
                Ok(FrameLength::AtLeast(min_bytes)) => {
                    prop_assert!(arrived < message.len() && arrived < min_bytes && min_bytes <= message.len());
                }
                Err(why) => return Err(TestCaseError::fail(why)),
            }
            arrived = (arrived + piece).min(input.len());
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(FrameLength::Complete(size)) = FrameScanner::default().scan(&bytes) {
            // Only that it returns matters.
            let _ = decode_message(&bytes[..size], |_| true);
        }
    }

    #[test]
    fn any_parameters_of_a_call_are_decoded(params in proptest::collection::vec(value(), 0..4)) {
        let message = encode(&Value::Array(vec![0.into(), 7.into(), "lookup".into(), Value::Array(params)]));
        let is_call = matches!(decode_message(&message, |_| true), Ok(Message::Call(Call { id: 7, .. })));
        prop_assert!(is_call);
    }
}

#[test]
fn only_the_first_of_each_wanted_field_is_kept() {
    let fields = [("b", "1"), ("a", "2"), ("c", "3"), ("a", "4")];
    let mut fields: Vec<(Value, Value)> =
        fields.iter().map(|(k, v)| (Value::from(*k), Value::from(*v))).collect();
    // Names and values that are no text, as binary, and nested.
    fields.insert(1, (Value::from(5), Value::Array(vec![Value::Nil])));
    fields.insert(2, (Value::from("b"), Value::Map(vec![(Value::from("a"), Value::from("nested"))])));
    fields.push((Value::from(&b"d"[..]), Value::from(&b"binary"[..])));
    let params = Value::Array(vec![Value::Map(fields), Value::from("text as a body")]);
    let message = encode(&Value::Array(vec![0.into(), 7.into(), "lookup".into(), params]));
    let wanted = |name: &str| ["a", "b", "d"].contains(&name);
    let pair = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let fields = vec![pair("b", "1"), pair("a", "2"), pair("d", "binary")];
    let body = Some(b"text as a body".to_vec());
    let call = Call { id: 7, method: "lookup".into(), fields, body };
    assert_eq!(decode_message(&message, wanted), Ok(Message::Call(call)));
}
