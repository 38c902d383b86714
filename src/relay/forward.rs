//! Encodes requests as they are sent to other hosts.

use super::{
    Exchange,
    Payload,
    RelayContext, //
};
use crate::{
    decision::{
        event::Arrival,
        residency::AllowedRegions, //
    },
    http::{
        client::HttpRequest,
        message::Headers, //
    },
    peer::frame::ForwardHead,
    types::{
        Bytes,
        RequestId, //
    },
    upstream, //
};

pub(super) fn chat_call(request: RequestId, body: Vec<u8>) -> HttpRequest {
    HttpRequest {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Headers::new()
            .with_field("content-type", "application/json")
            .with_field("x-request-id", &request.to_string()),
        body,
    }
}

/// Returns the head and the body of a request that is forwarded to another host.
pub fn forward_request(
    context: &RelayContext,
    exchange: &Exchange,
    allowed: AllowedRegions,
) -> (ForwardHead, Vec<u8>) {
    let (call, is_stream) = match &exchange.payload {
        Payload::Service(call) => (call.clone(), false),
        Payload::Chat(chat) => {
            let call = chat_call(exchange.arrival.request, chat.engine_body());
            (call, chat.is_stream)
        }
    };
    let head = forward_head(context, &exchange.arrival, &call, allowed, is_stream);
    (head, call.body)
}

pub(super) fn forward_head(
    context: &RelayContext,
    arrival: &Arrival,
    call: &HttpRequest,
    allowed: AllowedRegions,
    is_stream: bool,
) -> ForwardHead {
    ForwardHead {
        request: arrival.request,
        caller: arrival.caller.clone(),
        target: arrival.target.clone(),
        tier: arrival.tier,
        prompt_tokens: arrival.prompt_tokens,
        max_output_tokens: arrival.max_output_tokens,
        prefix_hashes: arrival.prefix_hashes.clone(),
        deadline_ms: arrival.deadline_ms,
        is_repeatable: arrival.is_repeatable,
        origin_region: context.region.clone(),
        origin_host: context.host.clone(),
        allowed,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: upstream::to_fields(&call.headers),
        is_stream,
        body_bytes: Bytes(call.body.len() as u64),
    }
}
