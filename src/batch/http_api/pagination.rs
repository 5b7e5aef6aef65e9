//! Pagination of lists.

use serde_json::{Value, json};

use crate::api::ApiError;
use crate::net::http::Head;

/// The number of objects on a page, unless the query sets another `limit`.
const DEFAULT_PAGE_SIZE: usize = 20;
/// The maximum number of objects on a page.
const MAX_PAGE_SIZE: usize = 100;

/// Returns one page of a list: at most as many objects as the query's `limit`, starting after the
/// object whose id is the query's `after`.
pub(super) fn page(head: &Head, objects: Vec<Value>) -> Result<Value, ApiError> {
    let limit = page_size(head)?;
    let start = match query_value(head, "after") {
        None => 0,
        Some(id) => {
            let position = objects
                .iter()
                .position(|object| object["id"] == id.as_str());
            let no_object = ApiError::new(400, "after", "after names no object of the list");
            1 + position.ok_or(no_object)?
        }
    };
    let has_more = objects.len() > start + limit;
    let data: Vec<Value> = objects.into_iter().skip(start).take(limit).collect();
    Ok(json!({
        "object": "list",
        "data": data,
        "first_id": id_of(data.first()),
        "last_id": id_of(data.last()),
        "has_more": has_more,
    }))
}

fn page_size(head: &Head) -> Result<usize, ApiError> {
    let Some(text) = query_value(head, "limit") else {
        return Ok(DEFAULT_PAGE_SIZE);
    };
    match text.parse::<usize>() {
        Ok(limit) if (1..=MAX_PAGE_SIZE).contains(&limit) => Ok(limit),
        _ => Err(ApiError::new(
            400,
            "limit",
            format!("limit must be 1 to {MAX_PAGE_SIZE}"),
        )),
    }
}

fn id_of(object: Option<&Value>) -> Value {
    object.map_or(Value::Null, |object| object["id"].clone())
}

/// The query string of a request, without the question mark.
pub(super) fn query(head: &Head) -> &str {
    head.target.split_once('?').map_or("", |(_, query)| query)
}

/// The first value of the parameter `name` in a request's query string.
pub(super) fn query_value(head: &Head, name: &str) -> Option<String> {
    form_urlencoded::parse(query(head).as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
