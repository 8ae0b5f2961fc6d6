//! Checks that docs/CAPACITY.md quotes only figures from the committed results file.

use std::{
    collections::BTreeMap,
    fs,
    path::Path, //
};

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(path).expect("the file exists and is readable")
}

/// Returns the slope of each fitted line by its name.
fn slopes() -> BTreeMap<String, String> {
    let text = read("benches/results/capacity.txt");
    let fits = text.lines().filter(|line| line.starts_with("fit="));
    fits.map(|line| {
        let mut fields = BTreeMap::new();
        for field in line.split(' ') {
            let (key, value) = field
                .split_once('=')
                .expect("each field of a fit line is key=value");
            fields.insert(key, value.to_owned());
        }
        (fields["fit"].clone(), fields["each"].clone())
    })
    .collect()
}

#[test]
fn quoted_figures_equal_the_measured_slopes() {
    let slopes = slopes();
    let page = read("docs/CAPACITY.md");
    let mut quoted = 0;
    for span in page.split('`').skip(1).step_by(2) {
        let Some((name, value)) = span.split_once('=') else {
            continue;
        };
        let measured = slopes
            .get(name)
            .unwrap_or_else(|| panic!("{name} is not in benches/results/capacity.txt"));
        assert_eq!(value, measured, "{name}");
        quoted += 1;
    }
    assert!(quoted >= 15, "only {quoted} figures are quoted");
}

#[test]
fn every_slope_has_a_plot_that_the_page_shows() {
    let page = read("docs/CAPACITY.md");
    for name in slopes().keys() {
        assert!(page.contains(&format!("plots/{name}.svg")), "{name}");
        assert!(read(&format!("docs/plots/{name}.svg")).contains("<svg"));
    }
}
