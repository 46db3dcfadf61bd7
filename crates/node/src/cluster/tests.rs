use super::*;

#[test]
fn a_node_says_once_that_it_is_cold_warm_and_draining_and_never_goes_back() {
    let mut company = ClusterParticipation::default();
    assert_eq!(
        company.booted(true),
        Some(ClusterUpdate::Phase(Phase::Cold))
    );
    assert_eq!(company.booted(true), None);
    let said: Vec<ClusterUpdate> = (0..200).filter_map(|_| company.succeeded()).collect();
    assert_eq!(said, [ClusterUpdate::Phase(Phase::Serving)]);
    assert_eq!(
        (company.drains(), company.drains()),
        (Some(ClusterUpdate::Phase(Phase::Draining)), None)
    );
    assert_eq!((company.booted(false), company.succeeded()), (None, None));
}

#[test]
fn room_is_what_the_kind_of_advert_means() {
    let mut company = ClusterParticipation::default();
    let mut said = |kind, advert, in_hand| match company.pulse(kind, advert, in_hand) {
        Some(ClusterUpdate::LoadHint { room, load }) => Some((room, load)),
        _ => None,
    };
    assert_eq!(said(LoadReport::Weight, Some(1.0), 3), Some((255, 3)));
    assert_eq!(said(LoadReport::Weight, Some(1.0), 3), None);
    assert_eq!(
        said(LoadReport::SheddingLevel, Some(1.0), 999),
        Some((0, 255))
    );
    assert_eq!(said(LoadReport::Credit, Some(7.9), 0), Some((7, 0)));
    assert_eq!(said(LoadReport::Disabled, None, 0), Some((255, 0)));
}
