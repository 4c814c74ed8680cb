//! Files of the capacity page in the repository.

use std::path::{Path, PathBuf};

use marljunction_capacity::page::ScaleFigure;
use marljunction_capacity::Measured;
use serde_json::Value;

const PAGE: &str = "docs/CAPACITY.md";
const MEASURED: &str = "docs/capacity/measured.json";
const SCALE: &str = "docs/capacity/scale.json";

/// The root directory of the repository.
pub struct Repository(PathBuf);

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Repository {
    /// Finds the repository that contains the working directory.
    ///
    /// # Errors
    /// If there is none.
    pub fn find() -> Result<Repository, String> {
        let here = std::env::current_dir().map_err(|e| e.to_string())?;
        let root = here.ancestors().find(|folder| folder.join("docs/architecture.md").exists());
        root.map(|root| Repository(root.to_owned())).ok_or_else(|| "run it inside the repository".into())
    }

    /// Reads the measurements.
    ///
    /// # Errors
    /// If the file can't be read or is invalid.
    pub fn measured(&self) -> Result<Measured, String> {
        serde_json::from_str(&read(&self.0.join(MEASURED))?).map_err(|e| format!("{MEASURED}: {e}"))
    }

    /// Writes the measurements.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_measured(&self, measured: &Measured) -> Result<(), String> {
        let text = serde_json::to_string_pretty(measured).map_err(|e| e.to_string())?;
        write(&self.0.join(MEASURED), &(text + "\n"))
    }

    /// Reads the scalar figures of the scale experiment; empty if the file does not exist.
    ///
    /// # Errors
    /// If the file exists but can't be read or is invalid.
    pub fn scale(&self) -> Result<Vec<ScaleFigure>, String> {
        let path = self.0.join(SCALE);
        if !path.exists() {
            return Ok(Vec::new());
        }
        let value: Value = serde_json::from_str(&read(&path)?).map_err(|e| format!("{SCALE}: {e}"))?;
        let fields = value.as_object().into_iter().flatten();
        let flat = fields.filter(|(_, value)| value.is_number() || value.is_string() || value.is_boolean());
        Ok(flat.map(|(name, value)| (name.clone(), value.to_string())).collect())
    }

    /// Reads the capacity page.
    ///
    /// # Errors
    /// If it can't be read.
    pub fn page(&self) -> Result<String, String> {
        read(&self.0.join(PAGE))
    }

    /// Writes the capacity page.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn write_page(&self, page: &str) -> Result<(), String> {
        write(&self.0.join(PAGE), page)
    }
}
