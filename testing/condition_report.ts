/**
 * A condition report on stage curtains, which the demo sends as its prompt.
 */

/** Holds the text of the report, followed by the instruction to the model. */
export const conditionReport = `Condition report, house curtain and legs, main stage. Inspection of 2 December, between
the morning rehearsal and the technical call. Inspectors: two, with scaffold tower and raking light.

House curtain: cotton velvet, 620 g per square metre, bordeaux, two halves of 9.4 by 11.2 metres, 50 percent fullness,
sewn in 2009. Pile direction downwards. Stage-left half: three zones of crushed pile at hand height along the leading
edge, 40 to 70 centimetres long, where stagehands hold the cloth during the manual close. The pile recovers partly
under steam; do not brush against the nap. One repaired tear of 18 centimetres at 2.1 metres, hand-sewn, sound.
Stage-right half: a tide line 30 centimetres above the hem over 3 metres, pale, with white crystals on the reverse.
The crystals are soluble in water and taste of nothing on the conductivity strip but salt: migrated flame retardant,
not mould. The roof drain above was mended in September. Moisture content today 8 percent, within range.

Flame retardant treatment: last certificate dates from March 2021, inorganic ammonium phosphate, applied by immersion,
class 1 at the time. Vertical test on a sample of 5 by 20 centimetres from the stage-left reverse hem: afterflame under
one second, char length 82 millimetres, pass. Same test from inside the tide line: afterflame six seconds, char length
171 millimetres, fail. The treatment has been washed out there. No part of this half may be wet cleaned before it has
been treated again, and the treatment must be compatible with the dye: a rub test with distilled water gave light
bleeding of red on white cotton, grade 3 to 4.

Legs, four pairs, wool serge, black, 2016, permanently flame retardant fibre. Dust load heavy on the upper third of
pair two, under the smoke extractor. Fold seams abraded on pair four, lining exposed over 25 centimetres on the left
leg. Chain pockets intact. Two tie tapes are missing on the right leg of pair one.

Border 3: silk appliqué from the 1987 production, owned by the scenery archive, very fragile. The threads shatter when
folded. It must not be vacuumed, must not be folded, and must travel rolled on a tube of at least 20 centimetres.

Access: loading dock free from 06:00 to 09:30 on Thursday only. Rehearsal with orchestra from 10:00, the curtain has to
fly by then. Fly bars 4 and 7 are rated for 350 kilograms; the wet half would exceed that.

Please draft a short care note for the crew: which pieces may be cleaned, with what method, in what order, and what must
not be touched.`
