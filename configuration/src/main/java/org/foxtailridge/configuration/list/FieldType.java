package org.foxtailridge.configuration.list;

/** Types of values in a list file. */
enum FieldType {
    TEXT("a text"),
    INTEGER("a whole number"),
    NUMBER("a number"),
    BOOLEAN("true or false"),
    TEXTS("an array of texts"),
    ROUTES("tables [[service.route]]");

    private final String mDescription;

    FieldType(String description) {
        mDescription = description;
    }

    String description() {
        return mDescription;
    }
}
