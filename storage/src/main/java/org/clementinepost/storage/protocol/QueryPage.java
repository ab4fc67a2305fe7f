package org.clementinepost.storage.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.storage.Item;

/**
 * One page of the result of a query.
 *
 * @param items the items of the page
 * @param lastEvaluatedSortKey the sort key after which the next page begins; none on the last page
 */
public record QueryPage(Vector<Item> items, Option<String> lastEvaluatedSortKey) {}
