/**
 * Type checks for decoded JSON.
 */
export {
  asArray, asNonEmptyString, asNonNegativeInteger, asNonNegativeNumber, asObject, asToken, lookUpName, parseObject
} from './json_fields.ts'
export type { JsonObject } from './json_fields.ts'
