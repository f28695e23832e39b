//! A JSON body whose exact bytes are needed before it is parsed.

use std::{marker::PhantomData, pin::Pin};

use dropshot::{
    ApiEndpointBodyContentType, Body, ExclusiveExtractor, ExtractorMetadata, HttpError,
    RequestContext, ServerContext, TypedBody, UntypedBody,
};
use http::{Request, request::Parts};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;

/// An extractor of a complete body. The API describes it as a [`TypedBody`].
pub(crate) struct RawBody<T> {
    parts: Parts,
    body: UntypedBody,
    content: PhantomData<T>,
}

impl<T: JsonSchema + DeserializeOwned + Send + Sync + 'static> RawBody<T> {
    /// Returns the body exactly as received.
    pub(crate) fn bytes(&self) -> &[u8] {
        self.body.as_bytes()
    }

    /// Parses the body as [`TypedBody`] does.
    pub(crate) async fn parse<C: ServerContext>(
        self,
        context: &RequestContext<C>,
    ) -> Result<T, HttpError> {
        let body = Body::from(self.body.as_bytes().to_vec());
        let request = Request::from_parts(self.parts, body);
        Ok(TypedBody::from_request(context, request).await?.into_inner())
    }
}

type Extracted<'a, T> = Pin<Box<dyn Future<Output = Result<T, HttpError>> + Send + 'a>>;

impl<T: JsonSchema + DeserializeOwned + Send + Sync + 'static> ExclusiveExtractor for RawBody<T> {
    fn from_request<'a, 'b, C>(
        context: &'a RequestContext<C>,
        request: Request<Body>,
    ) -> Extracted<'b, Self>
    where
        'a: 'b,
        C: ServerContext + 'b,
        Self: 'b,
    {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let body = UntypedBody::from_request(context, Request::new(body)).await?;
            Ok(RawBody { parts, body, content: PhantomData })
        })
    }

    fn metadata(kind: ApiEndpointBodyContentType) -> ExtractorMetadata {
        TypedBody::<T>::metadata(kind)
    }
}
