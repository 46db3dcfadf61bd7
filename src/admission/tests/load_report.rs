//! Shedding level, load report, idle connections and stop-trying.

use super::*;

#[test]
fn the_shedding_level_follows_rejections_and_falls_with_spare_cpu() {
    let mut controller = controller(deployment());
    (
        controller.concurrency.busy_share,
        controller.window.value_read,
        controller.window.value_rejected,
    ) = (1.0, 10.0, 5.0);
    controller.update_signals(S);
    assert!((controller.signals.shedding_level - LEVEL_GAIN * 0.47).abs() < 1e-9);
    (
        controller.concurrency.busy_share,
        controller.signals.shedding_level,
    ) = (0.5, 0.5);
    controller.update_signals(S);
    assert!((controller.signals.shedding_level - 0.45).abs() < 1e-9);
}

#[test]
fn each_kind_of_load_report_has_its_own_scale() {
    for (load_report, value) in [
        (LoadReport::SheddingLevel, 0.5),
        (LoadReport::Weight, 0.5),
        (LoadReport::Credit, 4.0),
    ] {
        let mut controller = controller(Deployment {
            load_report,
            ..deployment()
        });
        (
            controller.signals.shedding_level,
            controller.concurrency.limit,
            controller.beta_red.target,
        ) = (0.5, 10.0, 6.0);
        controller.send_load_report(S);
        assert_eq!(controller.host.effects, [Effect::ReportLoad(value)]);
    }
}

#[test]
fn idle_connections_are_closed_if_load_balancers_seldom_reuse_them() {
    let mut controller = controller(Deployment {
        load_balancers: 300,
        ..deployment()
    });
    // Each load balancer sends one request in 60 s; its idle timeout is 30 s.
    controller.beta_red.arrival_rate = 5.0;
    controller.update_signals(S);
    assert!(
        controller
            .host
            .effects
            .contains(&Effect::CloseIdle(ANSWER_MARGIN))
    );
    (controller.beta_red.arrival_rate, controller.host.effects) = (20.0, Vec::new());
    controller.update_signals(S);
    assert!(controller.host.effects.contains(&Effect::CloseIdle(30 * S)));
}

#[test]
fn clients_may_try_other_nodes_while_the_cluster_is_within_its_quotas() {
    // Guards against slow nodes whose stop-trying keeps requests from other nodes with capacity.
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Queued);
    controller.signals.shedding_level = 0.5;
    controller.reject(MS, 0);
    controller.tenants.traffic[0].rate = 2.0; // 20 per second over 10 nodes; the quota is 10
    controller.reject(MS, 1);
    assert_eq!(
        controller.host.effects,
        [Effect::Reject(0, false), Effect::Reject(1, true)]
    );
}
