"""The operators' resources: slotted classes, their checks and the catalog that holds them."""
