//! Bounds on the size of values, from which the worst case of the cost follows.

/// Bounds on a value: bytes of text, or items of a list and the bounds of each.
#[derive(Clone, Debug, Default)]
pub struct Size {
    pub(super) most: u64,
    pub(super) item: Option<Box<Size>>,
}

impl Size {
    pub(super) fn of(most: usize) -> Size {
        Size {
            most: most as u64,
            item: None,
        }
    }

    pub(super) fn list(most: u64, item: Size) -> Size {
        Size {
            most,
            item: Some(Box::new(item)),
        }
    }

    pub(super) fn item(&self) -> Size {
        self.item.as_deref().cloned().unwrap_or_default()
    }

    /// What [`crate::value::Value::extent`] may come to.
    pub(super) fn extent(&self) -> u64 {
        self.item.as_ref().map_or(self.most, |item| {
            self.most.saturating_mul(8 + item.extent())
        })
    }

    pub(super) fn max(&self, other: &Size) -> Size {
        let item = match (&self.item, &other.item) {
            (Some(a), Some(b)) => Some(Box::new(a.max(b))),
            (a, b) => a.clone().or_else(|| b.clone()),
        };
        Size {
            most: self.most.max(other.most),
            item,
        }
    }
}
