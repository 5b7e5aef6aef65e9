//! Who is admitted, and who stays admitted at another cost.

use super::AdmissionControl;
use crate::interface::{Class, Settings, Timestamp};

/// Admission control that admits about this fraction, and stays there while time stands still.
fn control(fraction: f64) -> AdmissionControl {
    let settings = Settings {
        classes: vec![Class::default()],
        ..Settings::default()
    };
    AdmissionControl {
        admitted_fraction: fraction,
        ..AdmissionControl::new(&settings, Timestamp::ZERO)
    }
}

/// A migration that costs far more than other requests is made where all are admitted, and rejected
/// under overload.
#[test]
fn expensive_migration_is_rejected_under_overload() {
    for (fraction, is_admitted) in [(1.0, true), (0.5, false)] {
        let mut control = control(fraction);
        for _ in 0..64 {
            control.admits(1.0, 0.5, Timestamp::ZERO);
        }
        assert_eq!(control.still_admits(0.1), is_admitted, "{fraction}");
    }
}
