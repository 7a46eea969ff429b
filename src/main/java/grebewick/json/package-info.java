/** JSON texts read by field name and type, with errors that name the field. Uses Jackson's parser. */
package grebewick.json;
