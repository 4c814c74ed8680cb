//! Number formatting for the page.

/// A number with three significant digits and thousands separators.
pub fn number(value: f64) -> String {
    // Rounding error around zero.
    if value.abs() < 1e-9 {
        return "0".into();
    }
    let whole = value.abs().log10().floor() as i32;
    let places = (2 - whole).max(0) as usize;
    let rounded = match whole > 2 {
        true => {
            let step = 10_f64.powi(whole - 2);
            (value / step).round() * step
        }
        false => value,
    };
    if value.abs() < 1e-4 {
        return format!("{value:.1e}");
    }
    let text = format!("{rounded:.places$}");
    let (digits, rest) = text.split_once('.').map_or((text.as_str(), ""), |(d, r)| (d, r));
    let mut grouped = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let rest = rest.trim_end_matches('0');
    match rest.is_empty() {
        true => grouped,
        false => format!("{grouped}.{rest}"),
    }
}

/// An exact number with thousands separators, or in millions.
pub fn plain(value: f64) -> String {
    match value.fract() == 0.0 && value < 1e6 {
        true => {
            let digits = format!("{value:.0}");
            let groups = digits.as_bytes().rchunks(3).rev();
            let groups: Vec<String> = groups.map(|g| String::from_utf8_lossy(g).into_owned()).collect();
            groups.join(",")
        }
        false if value >= 1e6 => format!("{} million", value / 1e6),
        false => format!("{value}"),
    }
}
