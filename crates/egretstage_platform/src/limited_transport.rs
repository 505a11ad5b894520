//! A transport that limits the bytes of one answer.
//!
//! The HTTP client limits the bytes of a body and of a head, not those of trailers.

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

/// Wraps the transports of another connector.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitedConnector {
    /// Largest number of bytes of an answer, its head and framing included.
    pub(crate) max_bytes: u64,
}

impl<In: Transport> Connector<In> for LimitedConnector {
    type Out = LimitedTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let limit = |transport| LimitedTransport {
            transport,
            max_bytes: self.max_bytes,
            received: 0,
        };
        Ok(chained.map(limit))
    }
}

/// Fails once an answer has more bytes than allowed.
#[derive(Debug)]
pub(crate) struct LimitedTransport<T> {
    transport: T,
    max_bytes: u64,
    /// Bytes received since the last part of a request was sent.
    received: u64,
}

impl<T: Transport> Transport for LimitedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.transport.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.received = 0;
        self.transport.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let unread = self.transport.buffers().input().len();
        let has_input = self.transport.await_input(timeout)?;
        let appended = self
            .transport
            .buffers()
            .input()
            .len()
            .saturating_sub(unread);
        self.received += u64::try_from(appended).unwrap_or(u64::MAX);
        if self.received > self.max_bytes {
            return Err(Error::BodyExceedsLimit(self.max_bytes));
        }
        Ok(has_input)
    }

    fn is_open(&mut self) -> bool {
        self.transport.is_open()
    }

    fn is_tls(&self) -> bool {
        self.transport.is_tls()
    }
}
