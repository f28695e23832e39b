//! A JSON body that is read into the memory that bodies share, and whose exact bytes may be needed.

use std::{marker::PhantomData, pin::Pin, time::Instant};

use ::body::{Bodies, HeldBody};
use dropshot::{
    ApiEndpointBodyContentType, Body, ExclusiveExtractor, ExtractorMetadata, HttpError,
    RequestContext, ServerContext, TypedBody,
};
use http::{Request, request::Parts};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use wire::Fault;

use crate::request::{BODY_TIMEOUT, body_fault};

/// The memory of the bodies of one kind of calls.
pub(crate) struct CallMemory {
    bodies: Bodies,
    /// Maximum length of a body, in bytes.
    max: usize,
    started: Instant,
}

impl CallMemory {
    /// Returns so many bytes of memory, for bodies of at most `max` bytes.
    pub(crate) fn new(memory: usize, max: usize) -> CallMemory {
        CallMemory { bodies: Bodies::new(memory), max, started: Instant::now() }
    }
}

/// An extractor of a body that was not read. The API describes it as a [`TypedBody`].
pub(crate) struct UnreadBody<T> {
    parts: Parts,
    body: Body,
    content: PhantomData<T>,
}

/// A complete body.
pub(crate) struct RawBody<T> {
    parts: Parts,
    body: HeldBody,
    content: PhantomData<T>,
}

impl<T> UnreadBody<T> {
    /// Reads the body completely, within the limits of memory, size and time.
    pub(crate) async fn read(self, memory: &CallMemory) -> Result<RawBody<T>, Fault> {
        let UnreadBody { parts, mut body, content } = self;
        let now = || memory.started.elapsed();
        let read = memory.bodies.read(now, &mut body, memory.max, BODY_TIMEOUT).await;
        let body = read.map_err(|error| body_fault(error, memory.max))?;
        Ok(RawBody { parts, body, content })
    }
}

impl<T: JsonSchema + DeserializeOwned + Send + Sync + 'static> RawBody<T> {
    /// Returns the body exactly as received.
    pub(crate) fn bytes(&self) -> &[u8] {
        self.body.as_slice()
    }

    /// Parses the body as [`TypedBody`] does.
    pub(crate) async fn parse<C: ServerContext>(
        self,
        context: &RequestContext<C>,
    ) -> Result<T, HttpError> {
        let body = Body::from(self.body.as_slice().to_vec());
        let request = Request::from_parts(self.parts, body);
        Ok(TypedBody::from_request(context, request).await?.into_inner())
    }
}

type Extracted<'a, T> = Pin<Box<dyn Future<Output = Result<T, HttpError>> + Send + 'a>>;

impl<T: JsonSchema + DeserializeOwned + Send + Sync + 'static> ExclusiveExtractor
    for UnreadBody<T>
{
    fn from_request<'a, 'b, C>(
        _: &'a RequestContext<C>,
        request: Request<Body>,
    ) -> Extracted<'b, Self>
    where
        'a: 'b,
        C: ServerContext + 'b,
        Self: 'b,
    {
        let (parts, body) = request.into_parts();
        Box::pin(async move { Ok(UnreadBody { parts, body, content: PhantomData }) })
    }

    fn metadata(kind: ApiEndpointBodyContentType) -> ExtractorMetadata {
        TypedBody::<T>::metadata(kind)
    }
}
