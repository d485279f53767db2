/**
 * The layouts of the two firms.
 */

/** Names the firms. */
export enum Firm {
  Fleuve = 'fleuve',
  Velluto = 'velluto'
}

/** Describes an availability zone. */
export interface Zone {
  availabilityZone: string
  region: string
}

/** Describes a firm's deployment. */
export interface FirmLayout {
  zones: Zone[]
  /** Name of the model, which is also the name of its backend servers before the number. */
  model: string
  version: string
  /** Name of the plain service. */
  service: string
  /** Path of the call that is not idempotent. */
  writePath: string
  /** Path of the idempotent lookups. */
  readPath: string
  prefill: number
  decode: number
  services: number
  paidTier: string
  freeTier: string
  /** API keys of a paid and a free caller. */
  paidKey: string
  freeKey: string
  paidCaller: string
  freeCaller: string
}

/** Holds the layout of each firm. */
export const firmLayouts: { [K in Firm]: FirmLayout } = {
  [Firm.Fleuve]: {
    zones: [
      { availabilityZone: 'rimouski', region: 'qc-est' },
      { availabilityZone: 'levis', region: 'qc-est' },
      { availabilityZone: 'gatineau', region: 'qc-ouest' }
    ],
    model: 'redaction',
    version: 'v1',
    service: 'registre',
    writePath: '/signatures',
    readPath: '/suivi',
    prefill: 2,
    decode: 4,
    services: 3,
    paidTier: 'payant',
    freeTier: 'gratuit',
    paidKey: 'cle-notaires',
    freeKey: 'cle-locateurs',
    paidCaller: 'notaires',
    freeCaller: 'locateurs'
  },
  [Firm.Velluto]: {
    zones: [
      { availabilityZone: 'milano-a', region: 'lombardia' },
      { availabilityZone: 'bergamo-b', region: 'lombardia' },
      { availabilityZone: 'venezia-a', region: 'veneto' }
    ],
    model: 'sipario-llm',
    version: 'v1',
    service: 'prenota',
    writePath: '/bookings',
    readPath: '/availability',
    prefill: 3,
    decode: 3,
    services: 3,
    paidTier: 'pagante',
    freeTier: 'gratuito',
    paidKey: 'chiave-teatri',
    freeKey: 'chiave-scuole',
    paidCaller: 'teatri',
    freeCaller: 'scuole'
  }
}
