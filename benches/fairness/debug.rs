use super::*;
pub fn dump(fleet: &Fleet) {
    let now = fleet.now;
    println!("{:?}", fleet.kinds);
    for i in 0..fleet.plan.loads.len() {
        let a = redwingyard::ids::id(&fleet.plan.account(i));
        let t = fleet.truth.service(now, i).as_secs_f64() / f64::from(fleet.plan.loads[i].share);
        let views: Vec<_> = fleet
            .sidecars
            .iter()
            .flatten()
            .map(|s| format!("{:.1}", s.view().usage(a) as f64 / 1e6))
            .collect();
        let tables: Vec<_> = fleet
            .routers
            .iter()
            .flatten()
            .map(|r| {
                format!(
                    "{:.1}",
                    r.table(redwingyard::ids::id("svc"))
                        .map_or(0, |t| t.usage(a)) as f64
                        / 1e6
                )
            })
            .collect();
        println!(
            "acc {i} share {} truth {t:.1} waiting {} tables {tables:?} views {views:?}",
            fleet.plan.loads[i].share,
            fleet.truth.waiting(i)
        );
    }
}
