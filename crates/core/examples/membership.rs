//! Runs the membership table by hand: a VM becomes silent, and refutes when it is heard again.

use dahliaseam_core::{
    member::{Contact, MemberSettings, Members},
    time::{Span, Time},
};

fn contact(vm: &str) -> Contact {
    Contact { vm: vm.to_owned(), hall: "hall".to_owned(), address: format!("{vm}:8082") }
}

fn main() {
    let now = Time(1_000_000);
    let listed = [contact("a"), contact("b")];
    let mut a = Members::new(MemberSettings::default(), contact("a"), 1, 1);
    let mut b = Members::new(MemberSettings::default(), contact("b"), 1, 2);
    a.set_listed(&listed);
    b.set_listed(&listed);
    let Some(key) = a.next_probe_target(now) else { return };
    a.record_answer(key, 1, b.refutation(), now);
    println!("answered: {:?}", a.get(key).map(|m| m.health));

    a.record_unreached(key, now);
    println!("silent: {:?}", a.get(key).map(|m| m.health));
    let later = now + Span::millis(10_000);
    let _ = a.next_probe_target(later);
    println!("still silent: {:?}", a.get(key).map(|m| m.health));

    b.apply(&a.update_to_refute(key).into_iter().collect::<Vec<_>>(), later);
    a.record_answer(key, 1, b.refutation(), later);
    println!("it refuted: {:?}", a.get(key).map(|m| m.health));
}
