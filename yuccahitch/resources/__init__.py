"""Resources that operators define: their classes, and the catalog that indexes them."""
