//! Bounds on the size of values, used to compute the worst-case cost.

/// Bounds on the size of a value.
#[derive(Clone, Debug, Default)]
pub struct Size {
    /// Largest number of bytes of a string or bytes value, or of items of a list.
    pub(super) bound: u64,
    /// Bounds on each item, if the value is a list.
    pub(super) item: Option<Box<Size>>,
}

impl Size {
    pub(super) fn of(bound: usize) -> Size {
        Size {
            bound: bound as u64,
            item: None,
        }
    }

    pub(super) fn list(bound: u64, item: Size) -> Size {
        Size {
            bound,
            item: Some(Box::new(item)),
        }
    }

    pub(super) fn item(&self) -> Size {
        self.item.as_deref().cloned().unwrap_or_default()
    }

    /// Returns the upper bound on [`crate::value::Value::extent`].
    pub(super) fn extent(&self) -> u64 {
        self.item.as_ref().map_or(self.bound, |item| {
            self.bound.saturating_mul(8 + item.extent())
        })
    }

    pub(super) fn max(&self, other: &Size) -> Size {
        let item = match (&self.item, &other.item) {
            (Some(a), Some(b)) => Some(Box::new(a.max(b))),
            (a, b) => a.clone().or_else(|| b.clone()),
        };
        Size {
            bound: self.bound.max(other.bound),
            item,
        }
    }
}
