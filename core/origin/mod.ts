/**
 * What began a stream, so that it goes on only where it fits together.
 */
export { choosePoints } from './choose_points.ts'
export { createOriginTable } from './create_origin_table.ts'
export type { ChoosePointsOptions, PointCandidate } from './choose_points.ts'
export type { Origin, OriginRecord, OriginTable, OriginTableOptions } from './create_origin_table.ts'
